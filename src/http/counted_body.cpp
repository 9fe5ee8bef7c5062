#include "http/counted_body.h"

namespace cove {

namespace {

/** A body and its account. */
class counted_body {
public:
    counted_body(std::string text, std::shared_ptr<memory_budget> memory,
                 std::function<void()> give_back)
        : text_(std::move(text)), memory_(std::move(memory)),
          account_(memory_->join(std::move(give_back)))
    {
    }
    ~counted_body() { memory_->leave(account_); }
    counted_body(counted_body const&) = delete;
    counted_body& operator=(counted_body const&) = delete;
    counted_body(counted_body&&) = delete;
    counted_body& operator=(counted_body&&) = delete;

    /** Begins to count; may release the memory of any holder, also of this body. */
    void hold(holding what) { memory_->hold(account_, text_.capacity(), what); }

    [[nodiscard]] std::string* text() { return &text_; }

private:
    std::string text_;
    std::shared_ptr<memory_budget> memory_;
    memory_budget::holder account_;
};

} // namespace

std::shared_ptr<std::string> count_body(std::string body,
                                        std::shared_ptr<memory_budget> const& memory, holding what,
                                        std::function<void()> give_back)
{
    if (!memory || body.empty()) {
        return std::make_shared<std::string>(std::move(body));
    }
    auto const counted =
        std::make_shared<counted_body>(std::move(body), memory, std::move(give_back));
    counted->hold(what);
    return {counted, counted->text()};
}

} // namespace cove
